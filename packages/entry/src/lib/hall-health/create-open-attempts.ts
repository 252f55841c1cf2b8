import type {OpenAttempt} from './open-attempt.js';
import type {OpenAttempts} from './open-attempts.js';

/** Creates an empty set of open attempts. */
export const createOpenAttempts = (): OpenAttempts => {
	const attempts = new Set<OpenAttempt>();
	return {
		add(attempt) {
			attempts.add(attempt);
			return () => {
				attempts.delete(attempt);
			};
		},
		oldestSentAt(hall) {
			let oldestSentAt: number | undefined;
			for (const {endpoint, sentAt} of attempts) {
				if (endpoint.hall === hall) {
					oldestSentAt = Math.min(oldestSentAt ?? sentAt, sentAt);
				}
			}

			return oldestSentAt;
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
