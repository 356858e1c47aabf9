/** Output and exit codes of commands. */
import process from 'node:process';
import {BronzebendError, type Fault} from '@bronzebend/core';
import {ServerError} from './client.js';

/** Exit codes, on which scripts rely. */
export const exitCodes = {
	done: 0,
	/** The call was rejected, nothing was found, or faults were found. */
	refused: 1,
	badUsage: 2,
	/** The server could not be reached or has no leader; the outcome may be unknown. */
	unavailable: 3,
	/** The settings, data folder or another input is invalid, or an unexpected error occurred. */
	cannotStart: 4,
} as const;

/** Prints a line to stdout. */
export const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

/** Prints a value as JSON, for scripts. */
export const printJson = (value: unknown): void => {
	print(JSON.stringify(value, undefined, 2));
};

/** Prints faults, each with its fix on the next line; as JSON, in an object. */
export const printFaults = (faults: readonly Fault[], asJson: boolean): void => {
	if (asJson) {
		printJson({faults});
		return;
	}

	for (const {code, file, object, path, message, fix} of faults) {
		const place = [file, object, path].filter(Boolean).join(': ');
		print(`${place}: ${message} [${code}]\n    ${fix}`);
	}

	print(`${faults.length} fault(s).`);
};

const codeOf = (error: unknown): number => {
	if (error instanceof ServerError) {
		return error.code === 'unreachable' || error.code === 'no-leader' ? exitCodes.unavailable : exitCodes.refused;
	}

	return exitCodes.cannotStart;
};

/** Prints an error, to stderr or as JSON to stdout, and sets the exit code. */
export const printError = (error: unknown, asJson: boolean): void => {
	const isKnown = error instanceof BronzebendError;
	const code = isKnown ? error.code : 'internal';
	const message = isKnown ? error.message : String(error instanceof Error ? error.stack : error);
	if (asJson) {
		printJson({code, message, details: isKnown ? error.details : {}});
	} else {
		process.stderr.write(`${message} [${code}]\n`);
		const faults = isKnown ? error.details.faults as Fault[] | undefined : undefined;
		if (Array.isArray(faults) && typeof faults[0] === 'object') {
			printFaults(faults, false);
		}
	}

	process.exitCode = codeOf(error);
};

/** Formats rows as a table with aligned columns. */
export const formatTable = (rows: ReadonlyArray<readonly string[]>): string => {
	const widths = rows.reduce<number[]>((widest, row) => row.map((cell, index) => Math.max(widest[index] ?? 0, cell.length)), []);
	return rows.map(row => row.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()).join('\n');
};
