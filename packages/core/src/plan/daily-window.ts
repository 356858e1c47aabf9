/** Daily spans of time in UTC. */
import type {DailyWindow} from '../declarations/kinds.js';

const MS_PER_MINUTE = 60_000;
const MINUTES_PER_DAY = 1440;

const minuteOf = (text: string): number => {
	const [hours, minutes] = text.split(':').map(Number) as [number, number];
	return (hours * 60) + minutes;
};

/** Whether a time (wall clock, in milliseconds) lies in a window; a window whose end is before its start runs past midnight. */
export const isInWindow = (window: DailyWindow, wallMs: number): boolean => {
	const minute = Math.floor(wallMs / MS_PER_MINUTE) % MINUTES_PER_DAY;
	const from = minuteOf(window.from);
	const to = minuteOf(window.to);
	return from <= to ? minute >= from && minute < to : minute >= from || minute < to;
};

/** Whether a time (wall clock, in milliseconds) lies in any of the windows. */
export const isInAny = (windows: readonly DailyWindow[], wallMs: number): boolean => windows.some(window => isInWindow(window, wallMs));
