/** Keeps a second process from using a data folder. */
import {mkdir, stat} from 'node:fs/promises';
import net from 'node:net';
import {BronzebendError} from '@bronzebend/core';

/** Another process uses the data folder. */
export class FolderLockedError extends BronzebendError {
	override readonly name = 'FolderLockedError';

	constructor(folder: string) {
		super('folder-locked', `Cannot use ${folder}: another process has it. Stop that one, or name another folder.`, {folder});
	}
}

/** Releases the lock; it also ends with the process, however that ends. */
export type FolderLock = {release(): Promise<void>};

/**
Locks a folder through an abstract socket named after it: the kernel lets one process bind it
and frees it when that process ends, so no stale lock can remain.

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
