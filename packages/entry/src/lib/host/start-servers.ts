import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {httpStatus} from '@deckwheel/core';
import {listenAt} from '@deckwheel/host-kit';
import type {CallerConnections} from './caller-connections.js';
import type {RequestCounter} from './request-counter.js';
import type {Servers} from './servers.js';

/** Heads of callers' requests are bounded here once, in bytes; the configuration's own bound is lower. */
const maxHeaderBytes = 65_536;

/** Until a configuration says how long callers' idle connections are kept, in ms. */
const firstKeepAliveMs = 15_000;

type Options = {
	readonly listen: {readonly callers: string; readonly ready: string};
	readonly open: RequestCounter;
	readonly connections: CallerConnections;
	/** Called with each connection of a caller. */
	readonly onConnection: (socket: Socket) => void;
	readonly serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
	readonly isReady: () => boolean;
	/** Whether a caller's connection is closed after this answer. */
	readonly closesAfter: (res: ServerResponse) => boolean;
};

/** Starts both servers. */
export const startServers = async ({listen, open, connections, onConnection, serve, isReady, closesAfter}: Options): Promise<Servers> => {
	const callers = createServer({maxHeaderSize: maxHeaderBytes, keepAliveTimeout: firstKeepAliveMs, noDelay: true}, (req, res) => {
		open.add(res);
		connections.requested(res);
		if (closesAfter(res)) {
			res.shouldKeepAlive = false;
		}

		// An answer whose head was sent before does not say that its connection closes; the next request would come on it.
		res.once('finish', () => {
			if (closesAfter(res)) {
				req.socket.destroySoon();
			}
		});

		void serve(req, res);
	});
	callers.on('connection', onConnection);
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
		closeIdleConnections: connections.closeIdle,
		stopListening() {
			// Node's HTTP server would close what it counts as idle as well, with answers that their callers still read.
			NetServer.prototype.close.call(callers);
			connections.closeIdle();
		},
		kill() {
			for (const server of [callers, ready]) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
};
