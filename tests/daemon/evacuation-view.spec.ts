import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {DISPATCH_LEASE_MS, VIEW_LEASE_MS} from '@bronzebend/daemon';
import {peerMessageSchema} from '@bronzebend/wire';
import {createDispatchingNode, type DispatchingNode} from '../fixtures/dispatching-node.js';

describe('distribution of evacuated data centres', () => {
	const nodes: DispatchingNode[] = [];
	const createNode = (): DispatchingNode => {
		const node = createDispatchingNode(['east', 'west']);
		nodes.push(node);
		return node;
	};

	/** Sends as many requests as there are slots, and returns the instances that got them. */
	const instancesOf = (node: DispatchingNode, count = 16): Set<string> => new Set(Array.from({length: count}, () => node.request()?.instance ?? 'none'));

	afterEach(() => {
		for (const node of nodes.splice(0)) {
			node.stop();
		}
	});

	it('should use both data centres while nothing is evacuated, and send no new fields to nodes of earlier versions', () => {
		const node = createNode();
		assert.deepEqual(instancesOf(node), new Set(['i-east', 'i-west']));
		assert.ok(!('evacuated' in node.host.reports()[0]!));
	});

	it('should give no ticket there from the first view that lists the data centre, not even to a request that the same reply lets through', () => {
		const node = createNode();
		instancesOf(node, 12);
		// The dispatcher's lease has run out, so requests wait until the reply that also brings the new view.
		node.pass(DISPATCH_LEASE_MS + 1);
		node.announce();
		instancesOf(node, 12);
		const before = node.tickets.length;
		node.commit({type: 'evacuate', dataCentre: 'east', atMs: node.nowMs()});
		node.exchange();
		const later = node.tickets.slice(before);
		assert.ok(later.length > 0, 'the dispatcher goes on');
		assert.deepEqual([...new Set(later.map(ticket => ticket.instance))], ['i-west']);
	});

	it('should report what still runs there, and use the instances again from the view that ends the evacuation', () => {
		const node = createNode();
		instancesOf(node, 4);
		node.commit({type: 'evacuate', dataCentre: 'east', atMs: node.nowMs()});
		node.exchange();
		const running = node.tickets.filter(ticket => ticket.instance === 'i-east').length;
		assert.ok(running > 0);
		assert.deepEqual(node.host.reports()[0]!.evacuated, [{dataCentre: 'east', running}]);
		node.commit({type: 'end-evacuation', dataCentre: 'east', atMs: node.nowMs()});
		node.exchange();
		assert.equal(node.host.reports()[0]!.evacuated, undefined);
		assert.deepEqual(node.view.evacuations(), []);
		assert.deepEqual(instancesOf(node, 12), new Set(['i-east', 'i-west']));
	});

	it('should reach a node through the next leader if the leader is lost between the acceptance and the first reply', () => {
		const node = createNode();
		node.commit({type: 'evacuate', dataCentre: 'east', atMs: node.nowMs()});
		node.loseReply();
		node.replaceLeader();
		node.exchange();
		assert.deepEqual(node.view.evacuations().map(item => item.dataCentre), ['east']);
		assert.deepEqual(instancesOf(node, 8), new Set(['i-west']));
	});

	it('should be in force on a node that is cut off at the latest when its view lease ends, as for keys', () => {
		const node = createNode();
		const acknowledgedMs = node.nowMs();
		node.commit({type: 'evacuate', dataCentre: 'east', atMs: acknowledgedMs});
		let lastMs = -Infinity;
		while (node.nowMs() < acknowledgedMs + (3 * VIEW_LEASE_MS)) {
			node.announce();
			const ticket = node.request();
			if (ticket) {
				lastMs = ticket.instance === 'i-east' ? node.nowMs() : lastMs;
				node.host.receive('n1', 'p', ticket.epoch, {
					type: 'release', ticketId: ticket.ticketId, outcome: 'ok', ranMs: 1,
				});
			}

			assert.ok(node.view.isFresh(node.nowMs()) || node.nowMs() >= acknowledgedMs + VIEW_LEASE_MS);
			node.pass(50);
		}

		assert.ok(lastMs >= acknowledgedMs, 'it serves until then');
		assert.ok(lastMs < acknowledgedMs + VIEW_LEASE_MS);
		assert.equal(node.view.isFresh(node.nowMs()), false, 'its entry refuses requests');
		node.exchange();
		node.announce();
		assert.deepEqual(node.view.evacuations().map(item => item.dataCentre), ['east'], 'it is in force at the first contact');
		assert.ok(!instancesOf(node, 8).has('i-east'));
	});

	it('should accept the messages with and without the new fields', () => {
		const cluster = {
			version: 'v', assignments: [], nodes: [], placements: [],
		};
		const reply = {
			type: 'heartbeat-reply', seq: 1, sentAtMs: 0, leaseMs: 1, viewVersion: 0, dispatch: [],
		};
		for (const state of [cluster, {...cluster, evacuations: [{dataCentre: 'east', sinceMs: 1}]}]) {
			assert.ok(peerMessageSchema.safeParse({...reply, cluster: state}).success);
		}
	});
});
