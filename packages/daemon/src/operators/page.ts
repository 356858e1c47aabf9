/** The read-only status page, rendered as HTML on the server. */
import type {ClusterStatus} from '../keeper/status.js';
import type {EvacuationStatus} from '../leader/evacuation-report.js';

const MS_PER_MINUTE = 60_000;

type Cell = string | number | undefined;

const escapeHtml = (value: Cell): string => String(value ?? '–').replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');

type Column<Row> = {title: string; read(row: Row): Cell; isBad?(row: Row): boolean};

const table = <Row>(caption: string, rows: readonly Row[], columns: ReadonlyArray<Column<Row>>): string => {
	const head = columns.map(column => `<th scope="col">${escapeHtml(column.title)}</th>`).join('');
	const body = rows.map(row => `<tr>${columns.map(column => `<td${column.isBad?.(row) ? ' class="bad"' : ''}>${escapeHtml(column.read(row))}</td>`).join('')}</tr>`).join('');
	const empty = rows.length === 0 ? `<tr><td colspan="${columns.length}">none</td></tr>` : '';
	return `<table><caption>${escapeHtml(caption)}</caption><thead><tr>${head}</tr></thead><tbody>${body}${empty}</tbody></table>`;
};

const evacuationTable = (evacuations: readonly EvacuationStatus[]): string => (evacuations.length === 0
	? ''
	: table('Evacuated data centres', evacuations, [
		{title: 'Data centre', read: evacuation => evacuation.dataCentre},
		{title: 'Since', read: evacuation => new Date(evacuation.sinceMs).toISOString()},
		{title: 'Requests still running', read: evacuation => evacuation.running},
		{title: 'Pools without a report', read: evacuation => evacuation.unreported.join(', '), isBad: evacuation => evacuation.unreported.length > 0},
	]));

const STYLE = `body{font:15px/1.4 system-ui,sans-serif;margin:2rem;color:#222;background:#fff}
table{border-collapse:collapse;margin:0 0 1.5rem;min-width:40rem}caption{text-align:left;font-weight:600;padding:.3rem 0}
th,td{border-bottom:1px solid #ddd;padding:.25rem .8rem;text-align:left}.bad{background:#fde2e0}`;

/** Renders the status as a page that reloads every 5 seconds. */
export const renderPage = (status: ClusterStatus): string => `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="5"><title>bronzebend</title><style>${STYLE}</style></head><body>
<h1>bronzebend</h1>
<p>Version ${escapeHtml(status.version)} in force, led by ${escapeHtml(status.leader)} in term ${escapeHtml(status.term)}.</p>
${table('Pools', status.pools, [
	{title: 'Pool', read: pool => pool.pool},
	{title: 'Dispatcher', read: pool => pool.dispatcher, isBad: pool => pool.dispatcher === undefined},
	{title: 'Live / wanted', read: pool => `${pool.live} / ${pool.wanted}`, isBad: pool => !pool.isSpare && pool.live < pool.wanted - pool.maxOut},
	{title: 'Slots', read: pool => pool.slots},
	{title: 'Out / budget', read: pool => `${pool.out.length} / ${pool.maxOut}`, isBad: pool => pool.out.length > pool.maxOut},
	{title: 'Running', read: pool => pool.running},
	{title: 'Waiting', read: pool => pool.waiting},
])}
${evacuationTable(status.evacuations ?? [])}
${table('Teams', status.teams, [
	{title: 'Team', read: team => team.team},
	{title: 'Running', read: team => team.running, isBad: team => team.limit !== undefined && team.running > team.limit},
	{title: 'Waiting', read: team => team.waiting},
	{title: 'Granted', read: team => team.granted},
	{title: 'Upper limit', read: team => team.limit},
])}
${table('Maintenance waves', status.waves, [
	{title: 'Wave', read: wave => wave.wave},
	{title: 'Done', read: wave => `${wave.done} / ${wave.total}`},
	{title: 'In work', read: wave => wave.running},
	{title: 'Estimate', read: wave => (wave.estimateMs === undefined ? undefined : `${Math.ceil(wave.estimateMs / MS_PER_MINUTE)} min`)},
])}
${table('Waits', status.waits, [
	{title: 'Pool', read: wait => wait.pool},
	{title: 'Instance', read: wait => wait.instance},
	{title: 'What', read: wait => wait.what},
	{title: 'Reason', read: wait => wait.reason},
])}
${table('Planned work', status.work, [
	{title: 'Instance', read: work => work.instance},
	{title: 'Pool', read: work => work.pool},
	{title: 'What', read: work => work.what},
	{title: 'Step', read: work => work.step},
])}
${table('Nodes', status.nodes, [
	{title: 'Node', read: node => node.node},
	{title: 'Data centre', read: node => node.dataCentre},
	{title: 'Version in force', read: node => node.version, isBad: node => node.lags},
	{title: 'Last heard', read: node => `${node.silentMs} ms ago`, isBad: node => node.silentMs > 1000},
	{title: 'Stopping', read: node => (node.draining ? 'yes' : 'no')},
])}
${table('Keepers', status.keepers, [
	{title: 'Keeper', read: keeper => keeper.node},
	{title: 'Voter', read: keeper => (keeper.voter ? 'yes' : 'no')},
	{title: 'Log up to', read: keeper => keeper.matched},
])}
</body></html>
`;
