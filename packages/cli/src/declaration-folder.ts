/** Reads a folder of declarations: all JSON files in it and its subfolders, each with one object or a list. */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import type {Fault, RawDeclaration} from '@bronzebend/core';

/** Declarations of a folder; files that cannot be read or parsed are reported as faults. */
export type FolderContent = {raw: RawDeclaration[]; faults: Fault[]};

const readFile = (folder: string, file: string): FolderContent => {
	try {
		const value: unknown = JSON.parse(readFileSync(path.join(folder, file), 'utf8'));
		const values = Array.isArray(value) ? value : [value];
		return {raw: values.map(item => ({file, value: item as unknown})), faults: []};
	} catch (error) {
		return {
			raw: [], faults: [{
				code: 'unreadable-file', file, object: '', path: '', message: (error as Error).message, fix: 'Check that the file is readable and contains valid JSON.',
			}],
		};
	}
};

/** Reads all declarations of a folder, sorted by file name. */
export const readFolder = (folder: string): FolderContent => {
	let names: string[];
	try {
		names = readdirSync(folder, {recursive: true, encoding: 'utf8'}).filter(name => name.endsWith('.json')).sort();
	} catch (error) {
		return {
			raw: [], faults: [{
				code: 'unreadable-folder', file: folder, object: '', path: '', message: (error as Error).message, fix: 'Give the path of a readable folder of declarations.',
			}],
		};
	}

	const files = names.map(name => readFile(folder, name));
	return {raw: files.flatMap(file => file.raw), faults: files.flatMap(file => file.faults)};
};
