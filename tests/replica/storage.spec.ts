import assert from 'node:assert/strict';
import {mkdtemp} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {
	type CorruptFileError, createFileDisk, DiskFullError, encodeRecord, FolderLockedError, lockFolder, openStorage, readFolder,
} from '@bronzebend/replica';
import {
	BadFrameError, decodeEntry, encodeEntry, type LogEntry, toWireMessage,
} from '@bronzebend/wire';
import {CrashError, createMemoryDisk, type MemoryDisk} from '../fixtures/memory-disk.js';
import {createReplicaGroup} from '../fixtures/replica-group.js';

const entry = (index: number, term = 1): LogEntry => ({index, term, payload: {type: 'no-op'}});
const members = [{replica: 'r', node: 'n', voter: true}];

/** Writes each entry in its own batch and returns the last acknowledged index. */
const writeEntries = async (memory: MemoryDisk, count: number): Promise<number> => {
	let acknowledged = 0;
	try {
		const storage = await openStorage(memory.disk);
		await storage.form(members, new Uint8Array());
		for (let index = 1; index <= count; index += 1) {
			// Batches are saved one after another.

			await storage.save([{type: 'hard-state', hardState: {term: index, votedFor: 'r'}}, {type: 'append', entries: [entry(index)]}]);
			acknowledged = index;
			if (index % 4 === 0) {
				await storage.saveSnapshot({
					index, term: 1, members, data: new Uint8Array([index]),
				}, []);
			}
		}
	} catch (error) {
		assert.ok(error instanceof CrashError || (error as Error).message.includes('crash'), String(error));
	}

	return acknowledged;
};

describe('storage', () => {
	it('should keep every acknowledged batch through a crash at each write and sync point', async () => {
		const reference = createMemoryDisk();
		await writeEntries(reference, 10);
		const leftovers = [{keep: 0}, {keep: 0.5}, {keep: 1}, {keep: 1, hole: true}];
		for (let operation = 1; operation <= reference.operations() + 1; operation += 1) {
			for (const leftover of leftovers) {
				const memory = createMemoryDisk();
				memory.crashAtOperation(operation);
				// Each crash point starts from an empty disk.

				const acknowledged = await writeEntries(memory, 10);
				memory.loseUnsynced(leftover);

				const storage = await openStorage(memory.disk);
				const {base, entries, hardState} = storage.restored();
				const last = entries.at(-1)?.index ?? base.index;
				assert.ok(last >= acknowledged, `crash at ${operation}, keep ${leftover.keep}: ${last} < ${acknowledged}`);
				assert.ok(hardState.term >= acknowledged, `crash at ${operation}: the vote of term ${acknowledged} is lost`);
			}
		}
	});

	it('should reject a log that is corrupt in the middle, with file and offset', async () => {
		const memory = createMemoryDisk();
		const storage = await openStorage(memory.disk);
		await storage.form(members, new Uint8Array());
		await storage.save([{type: 'append', entries: [entry(1)]}]);
		const offset = memory.sizeOf('log');
		await storage.save([{type: 'append', entries: [entry(2)]}]);
		await storage.save([{type: 'append', entries: [entry(3)]}]);
		memory.damage('log', offset + 20);
		await assert.rejects(openStorage(memory.disk), (error: CorruptFileError) => {
			assert.equal(error.code, 'corrupt-file');
			assert.deepEqual(error.details, {file: 'log', offset});
			return true;
		});
	});

	it('should truncate a torn record at the end and report its length', async () => {
		const memory = createMemoryDisk();
		const storage = await openStorage(memory.disk);
		await storage.form(members, new Uint8Array());
		await storage.save([{type: 'append', entries: [entry(1)]}]);
		await memory.disk.append('log', new Uint8Array([1, 2, 3]));
		const reopened = await openStorage(memory.disk);
		assert.equal(reopened.tornBytes, 3);
		assert.equal(reopened.restored().entries.length, 1);
	});

	it('should drop entries of a divergent history after a crash between saving a snapshot and truncating the log', async () => {
		const memory = createMemoryDisk();
		const storage = await openStorage(memory.disk);
		await storage.form(members, new Uint8Array());
		await storage.save([{type: 'append', entries: [entry(1), entry(2), entry(3)]}]);
		memory.crashAtOperation(memory.operations() + 5);
		await assert.rejects(storage.saveSnapshot({
			index: 2, term: 7, members, data: new Uint8Array(),
		}, []));
		memory.loseUnsynced({keep: 1});
		const {restored} = await readFolder(memory.disk);
		assert.deepEqual(restored.base.index, 2);
		assert.deepEqual(restored.entries, []);
	});

	it('should reject a batch on a full disk and accept it once there is space', async () => {
		const memory = createMemoryDisk();
		const storage = await openStorage(memory.disk);
		await storage.form(members, new Uint8Array());
		memory.setCapacity(memory.sizeOf('log') + memory.sizeOf('identity') + memory.sizeOf('snapshot') + 10);
		await assert.rejects(storage.save([{type: 'append', entries: [entry(1)]}]), DiskFullError);
		memory.setCapacity(Infinity);
		await storage.save([{type: 'append', entries: [entry(1)]}]);
		const reopened = await openStorage(memory.disk);
		assert.deepEqual(reopened.restored().entries, [entry(1)]);
		assert.equal(reopened.tornBytes, 0);
	});

	it('should prevent a second process from locking a folder', async () => {
		const folder = await mkdtemp(path.join(os.tmpdir(), 'bronzebend-lock-'));
		const lock = await lockFolder(folder);
		await assert.rejects(lockFolder(folder), FolderLockedError);
		await lock.release();
		const secondLock = await lockFolder(folder);
		await secondLock.release();
	});

	it('should read back from the file system what it synced', async () => {
		const folder = await mkdtemp(path.join(os.tmpdir(), 'bronzebend-disk-'));
		const disk = await createFileDisk(folder);
		const storage = await openStorage(disk);
		await storage.form(members, new Uint8Array());
		await storage.save([{type: 'append', entries: [entry(1), entry(2)]}]);
		await storage.saveSnapshot({
			index: 1, term: 1, members, data: new Uint8Array([9]),
		}, [entry(2)]);
		await storage.close();
		const {restored, snapshot} = await readFolder(await createFileDisk(folder));
		assert.deepEqual(restored.entries, [entry(2)]);
		assert.deepEqual([...snapshot!.data], [9]);
	});
});

describe('log entries', () => {
	const append = (entries: LogEntry[]) => toWireMessage({
		type: 'raft', from: 'r', to: 's', message: {
			type: 'append', term: 1, prevIndex: 0, prevTerm: 0, entries, commit: 0, sentAtMs: 0,
		},
	}) as {message: {entries: Uint8Array[]}};

	it('should be encoded once for all replicas', () => {
		const one = entry(1);
		const [first, second] = [append([one]), append([one])];
		assert.equal(first.message.entries[0], second.message.entries[0]);
		assert.deepEqual(decodeEntry(encodeEntry(one)), one);
	});

	it('should be read from a log of an earlier version, which holds entries as objects instead of bytes', async () => {
		const memory = createMemoryDisk();
		const storage = await openStorage(memory.disk);
		await storage.form(members, new Uint8Array());
		await memory.disk.append('log', encodeRecord([{type: 'hard-state', hardState: {term: 1, votedFor: 'r'}}, {type: 'append', entries: [entry(1), entry(2)]}]));
		await memory.disk.sync('log');
		const reopened = await openStorage(memory.disk);
		await reopened.save([{type: 'append', entries: [entry(3)]}]);
		const last = await openStorage(memory.disk);
		assert.deepEqual(last.restored().entries, [entry(1), entry(2), entry(3)]);
	});

	it('should be rejected if the bytes cannot be decoded', () => {
		assert.throws(() => decodeEntry(new Uint8Array([0x01])), BadFrameError);
		assert.throws(() => decodeEntry(new Uint8Array([0xA1, 0x61])), BadFrameError);
	});
});

describe('replica', () => {
	it('should keep acknowledged changes when a second replica is lost right after a repair', async () => {
		const group = createReplicaGroup(11, 20);
		await group.form(['a', 'b', 'c']);
		const acknowledged: string[] = [];
		const publishSome = async (count: number): Promise<void> => {
			for (let step = 0; step < count; step += 1) {
				const instance = `i${acknowledged.length}`;

				const outcome = await group.propose({type: 'place', instance, pool: 'p'});
				assert.ok(outcome);
				acknowledged.push(instance);
			}
		};

		await publishSome(30);
		group.kill('a');
		group.diskOf('a').loseUnsynced({keep: 0});
		await publishSome(30);
		await group.start('a');
		await group.run(1500);
		group.kill('b');
		await publishSome(10);
		// A follower receives the commit index at most a tick later.
		await group.run(50);
		assert.deepEqual(group.fatal, []);
		for (const name of ['a', 'c']) {
			assert.deepEqual(acknowledged.filter(instance => !group.of(name).placed().includes(instance)), []);
		}
	});

	it('should restart after 1,000 changes from a snapshot and a short log', async () => {
		const group = createReplicaGroup(12, 200);
		await group.form(['a']);
		const leader = await group.elect();
		await Promise.all([Promise.all(Array.from({length: 1000}, async (_, index) => leader.propose({type: 'place', instance: `i${index}`, pool: 'p'}))), group.run(500)]);
		group.kill('a');
		group.diskOf('a').loseUnsynced({keep: 0});
		const {restored} = await readFolder(group.diskOf('a').disk);
		assert.ok(restored.entries.length < 1200, 'the log is cut by snapshots');
		await group.start('a');
		await group.elect();
		assert.equal(group.of('a').placed().length, 1000);
	});

	it('should remain leader and commit through the other replicas while its own disk hangs, without losing changes', async () => {
		const group = createReplicaGroup(14, 1000);
		await group.form(['a', 'b', 'c']);
		assert.ok(await group.propose({type: 'place', instance: 'before', pool: 'p'}));
		const leader = await group.elect();
		const name = group.names().find(other => group.of(other).replica === leader)!;
		const release = group.diskOf(name).stall();
		assert.ok(await group.propose({type: 'place', instance: 'meanwhile', pool: 'p'}));
		await group.run(3000);
		assert.equal(leader.hasLease(), true);
		// The machine loses power before its disk recovers; the other replicas still hold the change.
		group.kill(name);
		release();
		group.diskOf(name).loseUnsynced({keep: 0});
		assert.ok(await group.propose({type: 'place', instance: 'after', pool: 'p'}));
		await group.start(name);
		await group.run(1500);
		assert.deepEqual(group.fatal, []);
		assert.deepEqual(group.names().map(other => group.of(other).placed()), Array.from({length: 3}, () => ['before', 'meanwhile', 'after']));
	});

	it('should reject changes on a full disk, keep its state, and resume when there is space', async () => {
		const group = createReplicaGroup(13, 1000);
		await group.form(['a']);
		assert.ok(await group.propose({type: 'place', instance: 'first', pool: 'p'}));
		group.diskOf('a').setCapacity(0);
		const leader = group.of('a').replica;
		let rejection: unknown;
		void leader.propose({type: 'place', instance: 'second', pool: 'p'}).catch((error: unknown) => {
			rejection = error;
		});
		await group.run(200);
		assert.equal(leader.isDiskFull(), true);
		await assert.rejects(leader.propose({type: 'place', instance: 'third', pool: 'p'}), DiskFullError);
		assert.deepEqual(group.of('a').placed(), ['first']);
		group.diskOf('a').setCapacity(Infinity);
		await group.run(3000);
		await setImmediate();
		assert.equal(leader.isDiskFull(), false);
		assert.ok(await group.propose({type: 'place', instance: 'fourth', pool: 'p'}));
		assert.equal(rejection, undefined, 'the change in progress was carried out, not rejected');
		assert.deepEqual(group.of('a').placed(), ['first', 'second', 'fourth']);
		assert.deepEqual(group.fatal, []);
	});
});
