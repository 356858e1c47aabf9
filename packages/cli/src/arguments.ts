/** Command-line arguments that several commands share. */
import process from 'node:process';
import {createClient, type Client} from './client.js';

/** Arguments of commands that call a node. */
export const serverArguments = {
	server: {
		type: 'string', description: 'URL of the operators\' port of any node', default: process.env.BRONZEBEND_SERVER ?? 'http://127.0.0.1:7900', valueHint: 'URL',
	},
	'key-file': {
		type: 'string', description: 'File with the operators\' key', default: process.env.BRONZEBEND_KEY_FILE ?? 'data/start/operator.key', valueHint: 'FILE',
	},
	json: {type: 'boolean', description: 'Print JSON for scripts', default: false},
} as const;

/** The `--json` argument, for commands that call no node. */
export const jsonArgument = {json: serverArguments.json} as const;

/** Creates a client for the node and key file given by the arguments. */
export const clientOf = (values: {server: string; 'key-file': string}): Client => createClient({server: values.server, keyFile: values['key-file']});
