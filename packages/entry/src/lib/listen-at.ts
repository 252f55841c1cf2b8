import {once} from 'node:events';
import type {Server} from 'node:http';

/** Listens at an `ip:port`. */
export const listenAt = async (server: Server, address: string): Promise<void> => {
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');
};
