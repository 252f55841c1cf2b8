import {once} from 'node:events';
import {connect} from 'node:net';
import {headerNames} from './header-names.js';

/** A caller's connection on which a test sends the text of requests piece by piece. */
export type OpenCaller = {
	/** Sends the head of a request with the API key of the organisation `org`, with further header lines. */
	readonly sendHead: (id: string, lines?: readonly string[]) => void;
	readonly send: (text: string) => void;
	/** Resolves to all text that was received, once the host has closed the connection or `isWhole` is true of that text. */
	readonly received: (isWhole?: (text: string) => boolean) => Promise<string>;
	readonly close: () => void;
};

/** Opens a caller's connection to a host at `address` (`ip:port`), and sends nothing. */
export const openCaller = async (address: string): Promise<OpenCaller> => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	let receivedText = '';
	let isClosed = false;
	let checkReceived: () => void = () => undefined;
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		receivedText += new TextDecoder().decode(bytes);
		checkReceived();
	});
	socket.on('close', () => {
		isClosed = true;
		checkReceived();
	});
	await once(socket, 'connect');
	return {
		sendHead(id, lines = []) {
			socket.write(['POST /p HTTP/1.1', 'host: fleet', `${headerNames.requestId}: ${id}`, `${headerNames.apiKey}: key`, ...lines, '', ''].join('\r\n'));
		},
		send(bytes) {
			socket.write(bytes);
		},
		received: async (isWhole = () => false) => new Promise(resolve => {
			checkReceived = () => {
				if (isClosed || isWhole(receivedText)) {
					resolve(receivedText);
				}
			};

			checkReceived();
		}),
		close() {
			socket.destroy();
		},
	};
};
