/** Command that evacuates a data centre, or ends its evacuation. */
import type {EvacuationAnswer} from '@bronzebend/daemon';
import {defineCommand} from 'citty';
import {clientOf, serverArguments} from '../arguments.js';
import {print, printJson} from '../output.js';
import {runCommand} from '../run-command.js';

const describeAnswer = ({dataCentre, changed}: EvacuationAnswer, isEnd: boolean): string => {
	if (isEnd) {
		return changed
			? `The evacuation of ${dataCentre} is withdrawn; its backend servers get requests again.`
			: `No evacuation of ${dataCentre} was in force; nothing changed.`;
	}

	return changed
		? `${dataCentre} is evacuated: its backend servers get no new requests after 2 seconds at the latest. Requests that run there end by themselves; see "status".`
		: `${dataCentre} is evacuated already; nothing changed.`;
};

export const evacuateCommand = defineCommand({
	meta: {name: 'evacuate', description: 'Send no more requests to the backend servers of a data centre, until the evacuation is withdrawn with --end'},
	args: {
		dataCentre: {
			type: 'positional', description: 'Name of the data centre, as in the declarations of instances', required: true, valueHint: 'DATACENTRE',
		},
		end: {type: 'boolean', description: 'Withdraw the evacuation', default: false},
		...serverArguments,
	},
	run: runCommand(async ({args}) => {
		const {dataCentre, end} = args;
		const answer = await clientOf(args).call({type: end ? 'end-evacuation' : 'evacuate', dataCentre}) as EvacuationAnswer;
		if (args.json) {
			printJson(answer);
		} else {
			print(describeAnswer(answer, end));
		}
	}),
});
