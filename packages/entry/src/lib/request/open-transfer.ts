import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AdmittedRequest} from '../admission/admitted-request.js';
import type {OpenTransfer} from '../link-admission/open-transfer.js';
import {onceResponseClosed} from '../relaying/once-response-closed.js';
import type {HostContext} from './host-context.js';

type RankedRequest = Pick<AdmittedRequest, 'route'> & {readonly rank: number};

// A length that is no number leaves the size to what is known of the route; Node.js refuses such a request before it is served.
const bodyBytesOf = ({headers}: IncomingMessage): number | undefined => {
	const length = headers['content-length'];
	if (length === undefined) {
		return headers['transfer-encoding'] === undefined ? 0 : undefined;
	}

	return Number.isSafeInteger(Number(length)) ? Number(length) : undefined;
};

/**
Asks the link of this host to carry a request, and ends the transfer with the response. Returns `undefined` where the link has no room.

The size of the response is what its connection was sent meanwhile. Where callers send several requests at once on a connection, the size of one holds
parts of the others, which evens out over them.
*/
export const openTransfer = (req: IncomingMessage, res: ServerResponse, {route, rank}: RankedRequest, {link}: Pick<HostContext, 'link'>): OpenTransfer | undefined => {
	const transfer = link.admit({route: route.name, rank, bodyBytes: bodyBytesOf(req)});
	if (transfer) {
		const writtenBefore = req.socket.bytesWritten;
		onceResponseClosed(res, () => {
			transfer.end(Math.max(0, req.socket.bytesWritten - writtenBefore));
		});
	}

	return transfer;
};
