import {answerTogether} from '@deckwheel/stand-ins';
import type {Answer} from './start-endpoint.js';

/** The requests to this path are answered once enough of them wait, each on a connection of its own. */
export const togetherPath = '/together';

/** Creates an answer of an endpoint that completes the requests to `togetherPath` once `count` of them wait, and all others at once. */
export const answerAtTogether = (count: number): Answer => {
	const respondTogether = answerTogether(count);
	return (req, res) => {
		const respond = (): void => {
			res.end('fine');
		};

		if (req.url === togetherPath) {
			respondTogether(respond);
		} else {
			respond();
		}
	};
};
