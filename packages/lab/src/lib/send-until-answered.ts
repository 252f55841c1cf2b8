import type {ChatAnswer} from './chat-answer.js';
import type {EntryProcess} from './entry-process.js';
import {eventually} from './eventually.js';
import {sendChat} from './send-chat.js';

type ChatCall = Parameters<typeof sendChat>[1];

/** Retries a request with the same key at one host after the other, as a patient caller would, until it gets the whole answer. */
export const sendUntilAnswered = async (entries: readonly EntryProcess[], call: ChatCall): Promise<ChatAnswer> => {
	let turn = 0;
	return eventually(async () => {
		const entry = entries[turn++ % entries.length]!;
		try {
			const answer = await sendChat(entry.callers, call);
			return answer.isWhole && answer;
		} catch {
			// The host is gone; the next one may serve.
			return undefined;
		}
	});
};
