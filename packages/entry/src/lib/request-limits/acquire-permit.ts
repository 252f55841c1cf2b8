import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {HostContext} from '../request/host-context.js';

/**
Acquires the permit that a request needs to be sent to an endpoint that names a limit; returns whether it was granted. After a refusal
this host does not choose the endpoint until it is worth asking for a permit again.
*/
export const acquirePermit = async ({id, hall}: ListedEndpoint, {limits, chooser}: Pick<HostContext, 'limits' | 'chooser'>): Promise<boolean> => {
	const permit = await limits.acquire({id, hall});
	if (!permit.isGranted) {
		chooser.note({type: 'limited', endpoint: id, until: permit.retryAt});
	}

	return permit.isGranted;
};
