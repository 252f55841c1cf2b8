import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TunnelTargets} from './tunnel-targets.js';

/** The most targets that are kept, the newest ones: a bound on memory. It is that of the ends that the mesh remembers. */
const maxTargets = 4096;

/** Creates a record without tunnels. */
export const createTunnelTargets = (): TunnelTargets => {
	const targets = new Map<string, ListedEndpoint>();

	return {
		note(ticket, endpoint) {
			targets.set(ticket, endpoint);
			const [oldest] = targets.keys();
			if (targets.size > maxTargets) {
				targets.delete(oldest!);
			}
		},
		get: ticket => targets.get(ticket),
	};
};
