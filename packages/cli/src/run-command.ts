/** Error handling of commands. */
import {printError} from './output.js';

/** Wraps the body of a command, so that any error it throws is printed and sets the exit code. */
export const runCommand = <Context extends {args: unknown}>(body: (context: Context) => Promise<void>) => async (context: Context): Promise<void> => {
	try {
		await body(context);
	} catch (error) {
		printError(error, (context.args as {json?: boolean}).json === true);
	}
};
