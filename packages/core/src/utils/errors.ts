/** Base classes of the errors that the system throws on purpose. */

/**
An error with a stable code.

@param code Stable, kebab-case; scripts may match it.
@param message What failed, and what to do about it.
*/
export class BronzebendError extends Error {
	override readonly name: string = 'BronzebendError';

	constructor(readonly code: string, message: string, readonly details: Readonly<Record<string, unknown>> = {}) {
		super(message);
	}
}

/** A value that an exhaustive switch does not handle; a programming error. */
export class UnreachableError extends BronzebendError {
	override readonly name = 'UnreachableError';

	constructor(value: never) {
		super('unreachable', `Unexpected value ${JSON.stringify(value)}; this is a bug in bronzebend, please report it.`);
	}
}
