import type {ProbeResult} from '@deckwheel/host-kit';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TunnelTicket} from '../tunnels/tunnel-ticket.js';
import type {EndCheck} from './end-check.js';

type Options = {
	/** Asks whether an endpoint still runs that got a request at `sentAt`, in monotonic ms. */
	readonly askHealth: (endpoint: ListedEndpoint, sentAt: number) => Promise<ProbeResult>;
	/** Asks the peer of a tunnel whether the endpoint ended the connection in order and still runs. */
	readonly confirmTunnelEnd: (tunnel: TunnelTicket, endpoint: string) => Promise<boolean>;
};

/**
Creates the check of responses that end with their connection: such an end is the same on the wire whether the endpoint has sent all or its process, or
a peer's, has died. Never rejects. An endpoint that ends a response too early and lives on is not found out.

@returns A function that checks the end of the response to a request that was sent to `endpoint` at `sentAt`, and came through `tunnel` where there is one.
*/
export const createEndCheck = ({askHealth, confirmTunnelEnd}: Options) =>
	async (endpoint: ListedEndpoint, tunnel: TunnelTicket | undefined, sentAt: number): Promise<EndCheck> => {
		if (tunnel) {
			return await confirmTunnelEnd(tunnel, endpoint.id) ? 'confirmed' : 'unconfirmed';
		}

		const result = await askHealth(endpoint, sentAt);
		return result === 'reached' ? 'confirmed' : result;
	};
