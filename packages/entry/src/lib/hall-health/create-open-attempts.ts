import type {OpenAttempt} from './open-attempt.js';
import type {OpenAttempts} from './open-attempts.js';

/** Creates a list of tries that is empty. */
export const createOpenAttempts = (): OpenAttempts => {
	const attempts = new Set<OpenAttempt>();
	return {
		add(attempt) {
			attempts.add(attempt);
			return () => {
				attempts.delete(attempt);
			};
		},
		waitsSince(hall) {
			let oldest: number | undefined;
			for (const {endpoint, sentAt} of attempts) {
				if (endpoint.hall === hall) {
					oldest = Math.min(oldest ?? sentAt, sentAt);
				}
			}

			return oldest;
		},
		abandon(hall) {
			for (const {endpoint, abandon} of attempts) {
				if (endpoint.hall === hall) {
					abandon?.();
				}
			}
		},
	};
};
