import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {httpStatus} from '@deckwheel/core';
import {keepListening} from '@deckwheel/host-kit';
import type {Log} from '../adapter/log.js';
import type {EventMetrics} from './event-metrics.js';

/**
Serves metrics in the text format of Prometheus over HTTP at an `ip:port`. If the server fails, as when the address is taken, it
logs that, the host runs without served metrics, and the server tries again.
*/
export const serveMetrics = (address: string, metrics: EventMetrics, log: Log): void => {
	const server = createServer(async (_req, res) => {
		const body = Buffer.from(await metrics.text());
		// Node:http states a length of its own to callers of HTTP/1.1 only.
		res.writeHead(httpStatus.ok, {'content-type': 'text/plain; version=0.0.4', 'content-length': body.length});
		res.end(body);
	});
	server.unref();
	keepListening(server, address, error => {
		log('metrics_unavailable', {address, reason: error.message});
	});
};
