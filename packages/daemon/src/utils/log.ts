/** Logs: short sentences with a fixed prefix for each part. */
import winston from 'winston';
import type {Settings} from '../settings.js';

/** Fields that stand on a log line beside its sentence. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The log of one part of the system. */
export type Log = {
	error(sentence: string, fields?: LogFields): void;
	warn(sentence: string, fields?: LogFields): void;
	info(sentence: string, fields?: LogFields): void;
	debug(sentence: string, fields?: LogFields): void;
};

/** Makes the log of a part by its prefix. */
export type LogFactory = (part: string) => Log;

const textFormat = winston.format.printf(({timestamp, level, part, message, ...fields}) => {
	const tail = Object.entries(fields).filter(([, value]) => value !== undefined).map(([key, value]) => ` ${key}=${String(value)}`).join('');
	return `${String(timestamp)} ${level} [${String(part)}] ${String(message)}${tail}`;
});

/** Creates the logs of one process; debug lines of a part show where `DEBUG` names it. */
export const createLogs = ({level, format}: Settings['log'], node: string): LogFactory => {
	const logger = winston.createLogger({
		level,
		defaultMeta: {node},
		format: winston.format.combine(winston.format.timestamp(), format === 'json' ? winston.format.json() : textFormat),
		transports: [new winston.transports.Console({stderrLevels: ['error', 'warn', 'info', 'debug']})],
	});
	return part => {
		const write = (lineLevel: string) => (sentence: string, fields: LogFields = {}): void => {
			logger.log({
				...fields, level: lineLevel, message: sentence, part,
			});
		};

		return {
			error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug'),
		};
	};
};

const ignore = (): void => undefined;

/** Logs nothing; for tests and embedding. */
export const silentLogs: LogFactory = () => ({
	error: ignore, warn: ignore, info: ignore, debug: ignore,
});
