/** What commands print, and how they end. */
import process from 'node:process';
import {BronzebendError, type Fault} from '@bronzebend/core';
import {ServerError} from './client.js';

/** Exit codes; docs/OPERATORS.md lists them. */
export const exitCodes = {
	done: 0,
	/** Refused, or faults found. */
	refused: 1,
	badUsage: 2,
	/** The server could not be reached or has no leader; the outcome may be unknown. */
	unavailable: 3,
	/** Settings or data folder wrong. */
	cannotStart: 4,
} as const;

/** Prints a line for people. */
export const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

/** Prints a value for scripts. */
export const printJson = (value: unknown): void => {
	print(JSON.stringify(value, undefined, 2));
};

/** Prints faults, one a line with its fix. */
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

/** Prints an error and sets the exit code. */
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

/** Pads columns of a table. */
export const formatTable = (rows: ReadonlyArray<readonly string[]>): string => {
	const widths = rows.reduce<number[]>((widest, row) => row.map((cell, index) => Math.max(widest[index] ?? 0, cell.length)), []);
	return rows.map(row => row.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()).join('\n');
};
