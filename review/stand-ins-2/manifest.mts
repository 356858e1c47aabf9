/* eslint-disable @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- plain script without types */

/** Manifests of a small deployment, in the format of the operator's interface. */

export const HOST = 'pule25.example';

const ROUTE = {
	kind: 'non_idempotent', 'timeout-ms': 3000, 'target-latency-ms': 600, priority: 0, 'max-attempts': 3, 'slack-factor': 1.6, public: false,
};

const SERVICE = {
	'health-path': '/healthz', 'max-conns': 64, protocol: 'h1', tls: false, 'admission-check': true,
};

/** Builds a manifest; `tenants` holds the keys of each tenant by name. */
export const manifestOf = ({version, pools = ['huvo11a'], standby = [], tenants, extraRoutes = [], timeoutMs = 3000}) => ({
	version,
	routes: [...pools.map(pool => ({
		...ROUTE, name: `r-${pool}`, host: HOST, 'path-prefix': `/${pool}/`, service: pool, 'timeout-ms': timeoutMs,
	})), ...extraRoutes.map(route => ({...ROUTE, service: pools[0], ...route}))],
	services: [...pools.map(name => ({...SERVICE, name, standby: false})), ...standby.map(name => ({...SERVICE, name, standby: true}))],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
	tenants: Object.entries(tenants).map(([name, keys]) => ({
		name, 'api-keys': keys, priority: 1, weight: 25, cap: {cpu: 0, 'mem-mb': 0, gpu: 0},
	})),
});
