import {hasNoChunks, type Refusal} from '@deckwheel/core';
import {chatJob} from '../running/chat-job.js';
import {createLiveStream} from '../running/streams/create-live-stream.js';
import type {Job} from '../running/job.js';
import type {LiveStream} from '../running/streams/live-stream.js';
import type {RunJob} from '../running/run-job.js';
import {beforeRecall} from './before-recall.js';
import {toCompletion} from './to-completion.js';
import {badRequest} from './reading/bad-request.js';
import {gatewayRefusals} from './gateway-refusals.js';
import {readChat} from './reading/read-chat.js';
import {relayLiveStream} from './relay-live-stream.js';
import type {Work} from './work.js';

/** Creates the work of chat completions, as a stream or whole. */
export const createChatWork = (runJob: RunJob): Work => {
	const runToEnd = async (job: Job, stream: LiveStream): Promise<Refusal | undefined> => {
		try {
			return await runJob(job);
		} finally {
			stream.end();
		}
	};

	return async (ctx, {adopted, caller, options, body, isWanted}) => {
		const read = readChat(body);
		if (!read.ok) {
			return read.error;
		}

		const request = read.value;
		const model = adopted.bundle.models.find(({id}) => id === request.model);
		if (!model) {
			return gatewayRefusals.unknownModel;
		}

		if (request.stream && hasNoChunks(ctx.req.httpVersion)) {
			return beforeRecall(ctx, gatewayRefusals.unframedStream);
		}

		const stream = createLiveStream();
		const job = chatJob({
			body: request, model, caller, options, isWanted, stream,
		});
		if (job.worstCase > model.maxPromptTokens + model.maxOutputTokens) {
			return badRequest(`The prompt is longer than the model's ${model.maxPromptTokens} tokens.`);
		}

		const result = runToEnd(job, stream);
		if (request.stream) {
			await relayLiveStream(ctx, stream, result);
			return result;
		}

		const refusal = await result;
		if (!refusal) {
			ctx.body = toCompletion(stream.events.join(''), model.id);
		}

		return refusal;
	};
};
