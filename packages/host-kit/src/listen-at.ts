import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {splitAddress} from '@deckwheel/core';

/**
Makes a server listen on an `ip:port`. With port 0, the operating system picks a free port.

@returns The address that the server listens on, with the actual port.
@throws The error of the server if it cannot listen on the address.
*/
export const listenAt = async (server: Server, address: string): Promise<string> => {
	const {host, port} = splitAddress(address);
	server.listen(port, host);
	await once(server, 'listening');
	return `${host}:${(server.address() as AddressInfo).port}`;
};
