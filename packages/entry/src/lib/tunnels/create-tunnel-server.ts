import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TunnelReply} from './tunnel-reply.js';
import type {TunnelServerOptions} from './tunnel-server-options.js';
import type {TunnelServer} from './tunnel-server.js';
import {createTunnelTargets} from './create-tunnel-targets.js';

/**
The most tunnels through one host at a time. Each takes two of its descriptors and a share of its small core and link; a peer that gets none
asks another host.
*/
const maxServed = 64;

/**
Creates the side of tunnels that opens connections for peers. It never asks a peer itself, so a connection goes over one other host at most, and
it opens them to endpoints of its own list only.
*/
export const createTunnelServer = ({endpointOf, isLost, isBusy, probe, isRunning, connect, tunnels, count, now}: TunnelServerOptions): TunnelServer => {
	const targets = createTunnelTargets();

	const openFor = async (id: string): Promise<Pick<TunnelReply, 'outcome' | 'ticket'>> => {
		const open = tunnels();
		if (!open || isBusy() || open.served() >= maxServed) {
			return {outcome: 'busy'};
		}

		const endpoint = endpointOf(id);
		if (!endpoint || endpoint.isLeaving) {
			return {outcome: 'unreached'};
		}

		if (isLost(endpoint)) {
			return {outcome: 'cut'};
		}

		const result = await connect(endpoint.address);
		if (result.type !== 'open') {
			return {outcome: 'unreached'};
		}

		const ticket = open.offer(result.socket);
		targets.note(ticket, endpoint);
		return {outcome: 'open', ticket};
	};

	const inReach = (id: string): ListedEndpoint | undefined => {
		const endpoint = endpointOf(id);
		return endpoint && !isLost(endpoint) ? endpoint : undefined;
	};

	const isReached = async (id: string): Promise<boolean> => {
		const endpoint = inReach(id);
		return endpoint !== undefined && probe(endpoint.address);
	};

	return {
		async answerTunnel(id) {
			const startedAt = now();
			const reply = await openFor(id);
			count(`served_${reply.outcome}`);
			return {...reply, served: tunnels()?.served() ?? 0, spentMs: now() - startedAt};
		},
		async answerReach(ids) {
			const reached = await Promise.all(ids.map(async id => isReached(id)));
			return {reached: ids.filter((_id, index) => reached[index])};
		},
		async answerTunnelEnd(ticket, id) {
			if (!await tunnels()?.hasEnded(ticket)) {
				count('served_end_denied');
				return {hasEnded: false};
			}

			// The connections of a process that dies end in order too, but nothing answers at its address any more.
			const endpoint = targets.get(ticket) ?? inReach(id);
			const hasEnded = endpoint !== undefined && await isRunning(endpoint);
			count(`served_end_${hasEnded ? 'confirmed' : 'unreached'}`);
			return {hasEnded};
		},
	};
};
