import {createServer, type Server} from 'node:http';
import {splitAddress} from '@deckwheel/core';
import {checkRequestChunks, keepListening} from '@deckwheel/host-kit';
import type Koa from 'koa';
import type {Log} from './leveled-log.js';

/** A sender whose header is not whole by then is cut off, in ms. */
const headersTimeoutMs = 10_000;

/** A sender whose request is not whole by then is cut off, in ms. */
const requestTimeoutMs = 30_000;

/** Breaks a response off that has begun and that nothing will end any more: Koa answers an exception only where it has not. */
const breakOff = (ctx: Koa.Context | undefined): void => {
	if (ctx?.headerSent && !ctx.res.writableEnded) {
		ctx.res.destroy();
	}
};

type Options = {
	readonly address: {readonly ip: string; readonly port: number};
	readonly log: Log;
};

type ServedApp = {
	readonly server: Server;
	readonly port: number;
	/** Ends the attempts to listen, and closes the listening socket. */
	readonly stopListening: () => void;
};

/**
Serves a Koa application, and resolves once it listens or has failed to for the first time; then it tries again. A sender that is too slow
with its request is cut off, and a response that an exception interrupts is broken off.
*/
export const serveApp = async (app: Koa, {address: {ip, port}, log}: Options): Promise<ServedApp> => {
	app.silent = true;
	app.on('error', (_error: unknown, ctx?: Koa.Context) => {
		breakOff(ctx);
	});
	const server = createServer({headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs}, app.callback());
	checkRequestChunks(server);
	const address = `${ip}:${port}`;
	const listener = keepListening(server, address, error => {
		log('error', 'listen_failed', {address, error: error.message});
	});
	await listener.tried;
	return {server, port: splitAddress(listener.address()).port, stopListening: listener.close};
};
