/** Base of every failure the system raises on purpose. */

/**
A failure with a stable code.

@param code Stable, kebab-case, fit for scripts.
@param message What was attempted and what to do.
*/
export class BronzebendError extends Error {
	override readonly name: string = 'BronzebendError';

	constructor(readonly code: string, message: string, readonly details: Readonly<Record<string, unknown>> = {}) {
		super(message);
	}
}

/** A value that an exhaustive switch did not expect; a programming fault. */
export class UnreachableError extends BronzebendError {
	override readonly name = 'UnreachableError';

	constructor(value: never) {
		super('unreachable', `Unexpected value ${JSON.stringify(value)}; this is a fault in bronzebend, please report it.`);
	}
}
