/**
Creates a function that holds answers back until as many as given are waiting, and gives them together then: the requests they
belong to are under way at once, so each has a connection of its own.
*/
export const answerTogether = (count: number): ((answer: () => void) => void) => {
	const waiting: Array<() => void> = [];
	return answer => {
		waiting.push(answer);
		if (waiting.length === count) {
			for (const give of waiting.splice(0)) {
				give();
			}
		}
	};
};
