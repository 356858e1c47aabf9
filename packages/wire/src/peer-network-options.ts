/** What a peer network is created with, and what it counts. */
import {type Buffer} from 'node:buffer';
import type {Clock} from '@bronzebend/core';
import type {PeerMessage} from './messages.js';

/** Key, certificate and CA for TLS between processes, in PEM. */
export type PeerTls = {key: Buffer; cert: Buffer; ca: Buffer};

/** Options of a peer network. */
export type PeerNetworkOptions = {
	node: string;
	host: string;
	port: number;
	/** Host at which other nodes reach this one; if given, peers learn it with the port, and can answer without knowing this node otherwise. */
	advertise?: string;
	secret: string;
	tls?: PeerTls;
	clock: Clock;
	/** Returns the address of a node; undefined while unknown. Goes before an address that the node announces. */
	locate(node: string): {host: string; port: number} | undefined;
	onMessage(from: string, message: PeerMessage): void;
	onFault?(reason: string, peer: string): void;
};

/** Traffic counters of a peer network. */
export type NetworkStats = {bytesSent: number; bytesReceived: number; messagesSent: number; writes: number; dropped: number; rejected: number};
