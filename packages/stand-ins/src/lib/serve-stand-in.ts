import {once} from 'node:events';
import {createServer} from 'node:http';
import {listenAt} from '@deckwheel/host-kit';
import type Koa from 'koa';
import type {RunningStandIn} from '../running-stand-in.js';

/** Serves a Koa application on loopback. */
export const serveStandIn = async (app: Koa, port: number): Promise<RunningStandIn> => {
	app.silent = true;
	const server = createServer(app.callback());
	const address = await listenAt(server, `127.0.0.1:${port}`);
	return {
		url: `http://${address}`,
		async close() {
			if (!server.listening) {
				return;
			}

			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
};
