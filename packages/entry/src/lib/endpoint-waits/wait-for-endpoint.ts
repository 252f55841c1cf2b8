import type {ChoiceRequest} from '../choice/choice-request.js';
import type {HostContext} from '../request/host-context.js';

/** How often a request that waits looks for an endpoint, in ms. */
const lookIntervalMs = 50;

type Options = {
	readonly request: Pick<ChoiceRequest, 'service' | 'version' | 'regions' | 'tried'>;
	/** Until when the request may wait, in monotonic ms. */
	readonly until: number;
	/** Whether waiting is of no use any more: the request is over, or its version is gone for good. */
	readonly isVain: () => boolean;
};

/**
Waits until an endpoint of the version that a request needs is open to it again; returns whether one is.

A host that can use no endpoint of the service at all may itself be the one that is cut off. Its requests do not wait, since another host may serve them.
*/
export const waitForEndpoint = async ({request, until, isVain}: Options, {chooser, schedule, now}: Pick<HostContext, 'chooser' | 'schedule' | 'now'>): Promise<boolean> => {
	const isServiceOpen = (): boolean => chooser.isOpen({...request, version: undefined});
	while (now() + lookIntervalMs <= until && !isVain() && isServiceOpen()) {
		await new Promise<void>(resolve => {
			schedule(lookIntervalMs, resolve);
		});
		if (chooser.isOpen(request)) {
			return true;
		}
	}

	return false;
};
