/** File operations on durable state, behind an interface in which tests can inject failures. */
import {
	mkdir, open, readdir, readFile, rename, rm, truncate, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';

/** One folder of files. Changes are durable only once they are synced. */
export type Disk = {
	/** Reads a whole file; returns undefined if it does not exist. */
	read(name: string): Promise<Uint8Array | undefined>;
	/** Creates or replaces a file without syncing it. */
	write(name: string, data: Uint8Array): Promise<void>;
	/** Appends bytes to a file without syncing it. */
	append(name: string, data: Uint8Array): Promise<void>;
	truncate(name: string, length: number): Promise<void>;
	/** Makes the content of a file durable. */
	sync(name: string): Promise<void>;
	rename(from: string, to: string): Promise<void>;
	/** Makes creations, renames and removals durable. */
	syncFolder(): Promise<void>;
	remove(name: string): Promise<void>;
	list(): Promise<string[]>;
	close(): Promise<void>;
};

/** Opens a folder of the file system; creates it if it does not exist. */
export const createFileDisk = async (folder: string): Promise<Disk> => {
	await mkdir(folder, {recursive: true});
	const handles = new Map<string, FileHandle>();
	const resolvePath = (name: string): string => path.join(folder, name);

	const getHandle = async (name: string): Promise<FileHandle> => {
		const existing = handles.get(name);
		if (existing) {
			return existing;
		}

		const handle = await open(resolvePath(name), 'a');
		handles.set(name, handle);
		return handle;
	};

	const closeHandle = async (name: string): Promise<void> => {
		const handle = handles.get(name);
		handles.delete(name);
		await handle?.close();
	};

	return {
		async read(name) {
			try {
				return await readFile(resolvePath(name));
			} catch (error) {
				if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
					return undefined;
				}

				throw error;
			}
		},

		async write(name, data) {
			await closeHandle(name);
			await rm(resolvePath(name), {force: true});
			const handle = await getHandle(name);
			await handle.writeFile(data);
		},

		async append(name, data) {
			const handle = await getHandle(name);
			await handle.appendFile(data);
		},

		async truncate(name, length) {
			await truncate(resolvePath(name), length);
		},

		async sync(name) {
			const handle = await getHandle(name);
			await handle.datasync();
		},

		async rename(from, to) {
			await closeHandle(from);
			await closeHandle(to);
			await rename(resolvePath(from), resolvePath(to));
		},

		async syncFolder() {
			const handle = await open(folder, 'r');
			try {
				await handle.sync();
			} finally {
				await handle.close();
			}
		},

		async remove(name) {
			await closeHandle(name);
			await rm(resolvePath(name), {force: true});
		},

		list: async () => readdir(folder),

		async close() {
			await Promise.all([...handles.keys()].map(async name => closeHandle(name)));
		},
	};
};
