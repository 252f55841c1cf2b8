/** A response under way, as `got` gives it. */
type Download = {
	/** Adds a listener for parts of the body, with how many bytes came until then. */
	readonly on: (event: 'downloadProgress', listener: (progress: {readonly transferred: number}) => void) => unknown;
	/** Closes the connection; the response fails. */
	readonly cancel: () => void;
};

/** Cancels a response as soon as more than `maxBytes` of its body have come. `onTooLong` is called then, with how many have. Returns the response. */
export const limitDownload = <T extends Download>(response: T, maxBytes: number, onTooLong: (bytes: number) => void = () => undefined): T => {
	let isTooLong = false;
	response.on('downloadProgress', ({transferred}) => {
		if (!isTooLong && transferred > maxBytes) {
			isTooLong = true;
			onTooLong(transferred);
			response.cancel();
		}
	});
	return response;
};
