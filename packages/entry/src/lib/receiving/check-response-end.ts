import type {HostContext} from '../request/host-context.js';
import type {EndCheck} from '../response-ends/end-check.js';
import type {FramedResponse} from './received-response.js';

/** Tells what ended a response that seems whole: only `stated` and `confirmed` mean that it is. */
export const checkResponseEnd = async ({framing, endpoint, tunnel, sentAt}: FramedResponse, isEmpty: boolean, host: Pick<HostContext, 'checkEnd'>): Promise<'stated' | EndCheck> => {
	if (framing === 'stated') {
		return 'stated';
	}

	return isEmpty ? 'empty' : host.checkEnd(endpoint, tunnel, sentAt);
};
