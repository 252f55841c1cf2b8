import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {splitAddress} from '@deckwheel/core';

/**
Listens at an `ip:port`.

@returns The address taken: with port 0, the system picks a free one.
*/
export const listenAt = async (server: Server, address: string): Promise<string> => {
	const {host, port} = splitAddress(address);
	server.listen(port, host);
	await once(server, 'listening');
	return `${host}:${(server.address() as AddressInfo).port}`;
};
