/** Prevents two processes from using the same data folder. */
import {mkdir, stat} from 'node:fs/promises';
import net from 'node:net';
import {BronzebendError} from '@bronzebend/core';

/** Another process uses the data folder. */
export class FolderLockedError extends BronzebendError {
	override readonly name = 'FolderLockedError';

	constructor(folder: string) {
		super('folder-locked', `Cannot use ${folder}: another process has locked it. Stop that process, or choose another folder.`, {folder});
	}
}

/** A held lock; it is also released when the process ends, however it ends. */
export type FolderLock = {release(): Promise<void>};

/**
Locks a folder by binding an abstract Unix socket named after the folder's device and inode: the
kernel lets one process bind it and frees it when that process ends, so no stale lock can remain.

@throws {FolderLockedError} Another process holds the lock.
*/
export const lockFolder = async (folder: string): Promise<FolderLock> => {
	await mkdir(folder, {recursive: true});
	const {dev, ino} = await stat(folder);
	const server = net.createServer();
	server.unref();
	await new Promise<void>((resolve, reject) => {
		server.once('error', error => {
			reject((error as NodeJS.ErrnoException).code === 'EADDRINUSE' ? new FolderLockedError(folder) : error);
		});
		server.listen(`\0bronzebend-${dev}-${ino}`, resolve);
	});
	return {
		async release() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
