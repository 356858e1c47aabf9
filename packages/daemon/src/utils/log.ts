/** Logs: short, constant sentences, with the name of the part that writes them and with fields for values. */
import winston from 'winston';
import type {Settings} from '../settings.js';

/** Values on a log line, beside its sentence. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Log of one part of the system. */
export type Log = {
	error(sentence: string, fields?: LogFields): void;
	warn(sentence: string, fields?: LogFields): void;
	info(sentence: string, fields?: LogFields): void;
	debug(sentence: string, fields?: LogFields): void;
};

/** Creates the log of a part of the system. */
export type LogFactory = (part: string) => Log;

const textFormat = winston.format.printf(({timestamp, level, part, message, ...fields}) => {
	const tail = Object.entries(fields).filter(([, value]) => value !== undefined).map(([key, value]) => ` ${key}=${String(value)}`).join('');
	return `${String(timestamp)} ${level} [${String(part)}] ${String(message)}${tail}`;
});

/** Creates the logs of one process, on standard error. */
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

/** Discards all lines; for tests and embedding. */
export const silentLogs: LogFactory = () => ({
	error: ignore, warn: ignore, info: ignore, debug: ignore,
});
