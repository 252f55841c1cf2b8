import type {StoredResponse} from '@deckwheel/ledger';
import type {RunJob} from '../running/run-job.js';
import {serviceJob} from '../running/service-job.js';
import {gatewayRefusals} from './gateway-refusals.js';
import type {Work} from './work.js';

/** Creates the work of calls to plain services. */
export const createServiceWork = (runJob: RunJob): Work => async (ctx, {adopted, caller, options, body, isWanted}) => {
	const service = adopted.bundle.services.find(({id}) => id === ctx.params.service);
	const path = `/${ctx.params.path ?? ''}`;
	const call = service?.calls.find(candidate => candidate.method === ctx.method && path.startsWith(candidate.path));
	if (!service || !call) {
		return gatewayRefusals.unknownCall;
	}

	let answer: StoredResponse | undefined;
	const refusal = await runJob(serviceJob({
		service: service.id,
		call,
		method: ctx.method,
		path: `${path}${ctx.search}`,
		contentType: ctx.get('content-type'),
		body,
		caller,
		options,
		isWanted,
		deliver(kept) {
			answer = kept;
		},
	}));
	if (answer) {
		ctx.status = answer.status;
		ctx.set('Content-Type', answer.contentType);
		ctx.body = answer.body;
	}

	return refusal;
};
