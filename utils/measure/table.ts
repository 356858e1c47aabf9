/** Measured figures of one run, and their Markdown table. */

/** One measured figure. */
export type Figure = {
	section: string;
	name: string;
	unit: string;
	ours: number;
	/** Figures of the baselines in the same run, by name. */
	baselines?: Record<string, number>;
	/** Target of the figure, as text; `met` is whether it is reached. */
	target?: string;
	met?: boolean;
};

const round = (value: number): string => (Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3));

/** Ratio of a figure to another; a dash if the other is missing or 0. */
const ratio = (value: number, other: number | undefined): string => (other === undefined || other === 0 ? '–' : `${(value / other).toFixed(2)}×`);

/** Renders figures as a Markdown table, with ratios to the baselines and to an earlier run. */
export const renderTable = (figures: readonly Figure[], earlier: readonly Figure[]): string => {
	const before = new Map(earlier.map(figure => [`${figure.section} ${figure.name}`, figure.ours]));
	const rows = figures.map(figure => {
		const baselines = Object.entries(figure.baselines ?? {}).map(([name, value]) => `${name}: ${round(value)} (ours ${ratio(figure.ours, value)})`).join('; ');
		const verdict = figure.met === undefined ? '' : (figure.met ? 'met' : '**missed**');
		const past = before.get(`${figure.section} ${figure.name}`);
		return `| ${figure.section} | ${figure.name} | ${round(figure.ours)} ${figure.unit} | ${baselines} | ${figure.target ?? ''} | ${verdict} | ${ratio(figure.ours, past)} |`;
	});
	return ['| section | figure | ours | baselines in the same run | target | verdict | to last run |', '| --- | --- | --- | --- | --- | --- | --- |', ...rows].join('\n');
};

/** Percentile of samples, with `part` from 0 to 1; 0 without samples. */
export const percentile = (samples: readonly number[], part: number): number => {
	const sorted = [...samples].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
};

/** Mean of samples; 0 without any. */
export const mean = (samples: readonly number[]): number => (samples.length === 0 ? 0 : samples.reduce((sum, value) => sum + value, 0) / samples.length);
