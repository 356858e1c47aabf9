/** Compares the voters that the keepers logged last with the keepers that are up. */
import {readLogs, type LogLine} from '../breaks.js';
import type {CoreBreak} from './checks.js';

type MembersLine = LogLine & {members?: unknown};

const hostOf = (member: string): string => member.split(':')[0]!;

/** The core was calm for longer than the group needs to settle when this is called. */
export const findStrayVoters = (folder: string, up: readonly string[]): CoreBreak[] => {
	const lines = (readLogs(folder) as MembersLine[]).filter(line => line.message === 'Changed the members of the group.' || line.message === 'Leading.').toSorted((one, other) => one.timestamp.localeCompare(other.timestamp));
	const text = lines.at(-1)?.members;
	if (typeof text !== 'string') {
		return [];
	}

	const voters = text.split(' ').filter((member, index, all) => member !== '(learner)' && all[index + 1] !== '(learner)').map(member => hostOf(member));
	const sorted = (hosts: readonly string[]): string => hosts.toSorted((one, other) => one.localeCompare(other)).join(' ');
	return sorted(voters) === sorted(up) ? [] : [{rule: 'voters', detail: `${sorted(voters)} vote, ${sorted(up)} are up`}];
};
