import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {httpStatus} from '@deckwheel/core';
import {checkRequestChunks, keepListening} from '@deckwheel/host-kit';
import type {Log} from '../../adapter/log.js';
import type {CallerConnections} from './caller-connections.js';
import {openCallerListener} from './open-caller-listener.js';
import type {RequestCounter} from './request-counter.js';
import type {Servers} from './servers.js';

/** The limit on the size of the head of a caller's request, in bytes. The configuration has no limit of its own on it (`CallerLimits`). */
const maxHeaderBytes = 65_536;

/** For how long callers' idle connections are kept until a configuration sets `idleTimeoutMs`, in ms. */
const initialKeepAliveMs = 15_000;

type Options = {
	/** The addresses at which the servers are to listen, as `ip:port`. */
	readonly listen: {readonly callers: string; readonly ready: string};
	readonly requestCounter: RequestCounter;
	readonly connections: CallerConnections;
	/** Called with each accepted connection of a caller. */
	readonly onConnection: (socket: Socket) => void;
	/** Serves a caller's request. */
	readonly serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
	/** Whether the load balancer may send requests to this host. */
	readonly isReady: () => boolean;
	readonly log: Log;
	/** Whether a caller's connection is to be closed after this response. */
	readonly closesAfter: (res: ServerResponse) => boolean;
};

/**
Starts both servers, and resolves once each of them listens or has failed to for the first time. A server that failed tries again, and
the host is not ready until it accepts connections of callers.
*/
export const startServers = async ({listen, requestCounter, connections, onConnection, serve, isReady, closesAfter, log}: Options): Promise<Servers> => {
	const callerServer = createServer({maxHeaderSize: maxHeaderBytes, keepAliveTimeout: initialKeepAliveMs, noDelay: true}, (req, res) => {
		requestCounter.add(res);
		connections.noteRequest(res);
		if (closesAfter(res)) {
			res.shouldKeepAlive = false;
		}

		// A head that was sent before the shutdown or overload began did not announce that the connection closes. The connection is closed here,
		// or the caller would send its next request on it.
		res.once('finish', () => {
			if (closesAfter(res)) {
				req.socket.destroySoon();
			}
		});

		void serve(req, res);
	});
	checkRequestChunks(callerServer);
	callerServer.on('connection', onConnection);
	const readinessServer = createServer((_req, res) => {
		res.writeHead(callerServer.listening && isReady() ? httpStatus.ok : httpStatus.serviceUnavailable, {'content-length': 0});
		res.end();
	});
	const readiness = keepListening(readinessServer, listen.ready, error => {
		log('listen_failed', {address: listen.ready, error: error.message});
	});
	const [listener] = await Promise.all([
		openCallerListener({
			server: callerServer, address: listen.callers, open: requestCounter.count, log,
		}),
		readiness.tried,
	]);
	return {
		get addresses() {
			return {callers: listener.address(), ready: readiness.address()};
		},
		setLimits(limits) {
			callerServer.keepAliveTimeout = limits.idleTimeoutMs;
			callerServer.headersTimeout = limits.headerTimeoutMs;
		},
		closeIdleConnections: connections.closeIdle,
		stopListening() {
			listener.stop();
			connections.closeIdle();
		},
		isAccepting: listener.isAccepting,
		setAccepting: listener.setAccepting,
		kill() {
			listener.kill();
			readinessServer.closeAllConnections();
			readiness.close();
		},
	};
};
