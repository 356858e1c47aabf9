/** The few file operations that durable state needs, so that tests can fail each of them. */
import {
	mkdir, open, readdir, readFile, rename, rm, truncate, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';

/** One folder of files. Contents last only once they are synced. */
export type Disk = {
	/** Whole content of a file; undefined where there is none. */
	read(name: string): Promise<Uint8Array | undefined>;
	/** Creates or replaces a file, unsynced. */
	write(name: string, data: Uint8Array): Promise<void>;
	/** Adds bytes at the end of a file, unsynced. */
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

/** Opens a folder of the file system, creating it where it is missing. */
export const createFileDisk = async (folder: string): Promise<Disk> => {
	await mkdir(folder, {recursive: true});
	const handles = new Map<string, FileHandle>();
	const locate = (name: string): string => path.join(folder, name);

	const handleOf = async (name: string): Promise<FileHandle> => {
		const existing = handles.get(name);
		if (existing) {
			return existing;
		}

		const handle = await open(locate(name), 'a');
		handles.set(name, handle);
		return handle;
	};

	const forget = async (name: string): Promise<void> => {
		const handle = handles.get(name);
		handles.delete(name);
		await handle?.close();
	};

	return {
		async read(name) {
			try {
				return await readFile(locate(name));
			} catch (error) {
				if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
					return undefined;
				}

				throw error;
			}
		},

		async write(name, data) {
			await forget(name);
			await rm(locate(name), {force: true});
			const handle = await handleOf(name);
			await handle.writeFile(data);
		},

		async append(name, data) {
			const handle = await handleOf(name);
			await handle.appendFile(data);
		},

		async truncate(name, length) {
			await truncate(locate(name), length);
		},

		async sync(name) {
			const handle = await handleOf(name);
			await handle.datasync();
		},

		async rename(from, to) {
			await forget(from);
			await forget(to);
			await rename(locate(from), locate(to));
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
			await forget(name);
			await rm(locate(name), {force: true});
		},

		list: async () => readdir(folder),

		async close() {
			await Promise.all([...handles.keys()].map(async name => forget(name)));
		},
	};
};
