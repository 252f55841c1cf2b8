import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {HostContext} from './host-context.js';
import type {RequestInputs} from './request-inputs.js';

type Sent = {readonly request: Pick<RequestInputs, 'id'>; readonly endpoint: Pick<ListedEndpoint, 'id'>};

/** Logs that what an endpoint sent is no response to the request. */
export const logInvalidResponse = (reason: string, {request, endpoint}: Sent, {log}: Pick<HostContext, 'log'>): void => {
	log('response_invalid', {id: request.id, endpoint: endpoint.id, reason});
};
