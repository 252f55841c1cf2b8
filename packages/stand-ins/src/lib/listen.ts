import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type Koa from 'koa';
import type {RunningStandIn} from '../running-stand-in.js';

/** Serves a Koa application on loopback. */
export const listen = async (app: Koa, port: number): Promise<RunningStandIn> => {
	app.silent = true;
	const server = createServer(app.callback());
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
};
