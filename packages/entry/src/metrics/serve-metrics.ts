import {createServer} from 'node:http';
import {splitAddress} from '@deckwheel/core';
import type {Log} from '../adapter/log.js';
import type {EventMetrics} from './event-metrics.js';

/** Serves figures as text at an `ip:port`. A host goes on without them when the address is taken. */
export const serveMetrics = (address: string, metrics: EventMetrics, log: Log): void => {
	const {host, port} = splitAddress(address);
	const server = createServer(async (_req, res) => {
		res.setHeader('content-type', 'text/plain; version=0.0.4');
		res.end(await metrics.text());
	});
	server.on('error', error => {
		log('metrics_unavailable', {address, reason: error.message});
	});
	server.listen(port, host);
	server.unref();
};
