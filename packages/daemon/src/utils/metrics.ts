/** Prometheus metrics of one process, for the operators' port. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Metrics of one process. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics, in a registry of their own. */
export const createMetrics = () => {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		requests: new Counter({
			name: 'bronzebend_requests_total', help: 'Requests by queue and outcome', labelNames: ['queue', 'outcome'], registers,
		}),
		retries: new Counter({
			name: 'bronzebend_retries_total', help: 'Tries after the first, by pool', labelNames: ['pool'], registers,
		}),
		queueWait: new Histogram({
			name: 'bronzebend_queue_wait_seconds', help: 'Wait for a ticket', labelNames: ['queue'], buckets: [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30], registers,
		}),
		answerTime: new Histogram({
			name: 'bronzebend_request_seconds', help: 'Time from request to whole answer', labelNames: ['queue'], buckets: [0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100], registers,
		}),
		running: new Gauge({
			name: 'bronzebend_team_running', help: 'Running per pool and team, at the pool\'s dispatcher', labelNames: ['pool', 'team'], registers,
		}),
		share: new Gauge({
			name: 'bronzebend_team_share', help: 'Share per pool and team, at the pool\'s dispatcher', labelNames: ['pool', 'team'], registers,
		}),
		granted: new Gauge({
			name: 'bronzebend_team_granted', help: 'Portion of the upper limit per pool and team', labelNames: ['pool', 'team'], registers,
		}),
		givenUp: new Counter({
			name: 'bronzebend_http_given_up_total', help: 'Connections of clients that were closed, by server and reason', labelNames: ['server', 'reason'], registers,
		}),
		version: new Gauge({name: 'bronzebend_version_in_force', help: 'Version of the configuration in force here', registers}),
		evacuatedDataCentres: new Gauge({name: 'bronzebend_evacuated_data_centres', help: 'Evacuated data centres, in the view of this node', registers}),
		evacuatedRequests: new Gauge({
			name: 'bronzebend_evacuated_requests', help: 'Requests that still run in an evacuated data centre, at the dispatchers of this node', labelNames: ['data_centre'], registers,
		}),
		controlBytes: new Gauge({
			name: 'bronzebend_control_bytes', help: 'Bytes between processes', labelNames: ['direction'], registers,
		}),
	};
};
