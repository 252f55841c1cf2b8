import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {httpStatus} from '@deckwheel/core';
import {listenAt} from '@deckwheel/host-kit';
import type {RequestCounter} from './request-counter.js';
import type {Servers} from './servers.js';

/** Heads of callers' requests are bounded here once, in bytes; the configuration's own bound is lower. */
const maxHeaderBytes = 65_536;

/** Until a configuration says how long callers' idle connections are kept, in ms. Chosen without a measurement. */
const firstKeepAliveMs = 15_000;

type Options = {
	readonly listen: {readonly callers: string; readonly ready: string};
	readonly open: RequestCounter;
	readonly serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
	readonly isReady: () => boolean;
	/** Whether callers' connections are closed after their answers. */
	readonly isClosing: () => boolean;
};

/** Starts both servers. */
export const startServers = async ({listen, open, serve, isReady, isClosing}: Options): Promise<Servers> => {
	const callers = createServer({maxHeaderSize: maxHeaderBytes, keepAliveTimeout: firstKeepAliveMs, noDelay: true}, (req, res) => {
		open.add(res);
		if (isClosing()) {
			res.shouldKeepAlive = false;
		}

		// An answer whose head was sent before does not say that its connection closes; the next request would come on it.
		res.once('finish', () => {
			if (isClosing()) {
				req.socket.destroySoon();
			}
		});

		void serve(req, res);
	});
	const ready = createServer((_req, res) => {
		res.writeHead(isReady() ? httpStatus.ok : httpStatus.serviceUnavailable, {'content-length': 0});
		res.end();
	});
	const [callersAddress, readyAddress] = await Promise.all([listenAt(callers, listen.callers), listenAt(ready, listen.ready)]);
	return {
		addresses: {callers: callersAddress, ready: readyAddress},
		limit(limits) {
			callers.keepAliveTimeout = limits.idleTimeoutMs;
			callers.headersTimeout = limits.headerTimeoutMs;
		},
		closeIdleConnections() {
			callers.closeIdleConnections();
		},
		stopListening() {
			callers.close();
			callers.closeIdleConnections();
		},
		kill() {
			for (const server of [callers, ready]) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
};
