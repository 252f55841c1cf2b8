import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type Koa from 'koa';

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;

/** Serves a Koa application. A sender that is too slow with its request is cut off. */
export const listen = async (app: Koa, {ip, port}: {readonly ip: string; readonly port: number}): Promise<{readonly server: Server; readonly port: number}> => {
	app.silent = true;
	const server = createServer({headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs}, app.callback());
	server.listen(port, ip);
	await once(server, 'listening');
	return {server, port: (server.address() as AddressInfo).port};
};
