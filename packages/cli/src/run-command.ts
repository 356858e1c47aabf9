/** Runs a command so that every failure is printed and sets an exit code. */
import {printError} from './output.js';

/** Wraps the body of a command. */
export const runCommand = <Context extends {args: unknown}>(body: (context: Context) => Promise<void>) => async (context: Context): Promise<void> => {
	try {
		await body(context);
	} catch (error) {
		printError(error, (context.args as {json?: boolean}).json === true);
	}
};
