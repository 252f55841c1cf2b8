import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {HostContext} from '../request/host-context.js';

/** Obtains what a request needs to be sent to an endpoint that may have a limit. Where it is not to be had, the endpoint is closed to this host for a while. */
export const acquirePermit = async ({id, hall}: ListedEndpoint, {limits, chooser}: Pick<HostContext, 'limits' | 'chooser'>): Promise<boolean> => {
	const permit = await limits.acquire({id, hall});
	if (!permit.isGranted) {
		chooser.note({type: 'limited', endpoint: id, until: permit.retryAt});
	}

	return permit.isGranted;
};
