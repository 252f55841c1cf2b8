import type {ClientRequest} from 'node:http';

/** How many informational responses (status 1xx) may come before the response. An endpoint that goes on with them may never send one. */
const maxInformational = 100;

/** The code of the error with which a request ends that got too many informational responses. */
export const tooManyInformationalCode = 'TOO_MANY_INFORMATIONAL';

/** Destroys a request that gets more informational responses than an endpoint has reason to send. */
export const limitInformational = (req: ClientRequest): void => {
	let count = 0;
	req.on('information', () => {
		count++;
		if (count > maxInformational) {
			req.destroy(Object.assign(new Error('Too many informational responses'), {code: tooManyInformationalCode}));
		}
	});
};
