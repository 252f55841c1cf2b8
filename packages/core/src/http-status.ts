/** The HTTP statuses that the programs send or handle specially, by their names in RFC 9110. */
export const httpStatus = {
	ok: 200,
	created: 201,
	badRequest: 400,
	unauthorized: 401,
	paymentRequired: 402,
	notFound: 404,
	conflict: 409,
	gone: 410,
	contentTooLarge: 413,
	misdirectedRequest: 421,
	unprocessableContent: 422,
	tooManyRequests: 429,
	internalServerError: 500,
	badGateway: 502,
	serviceUnavailable: 503,
	gatewayTimeout: 504,
} as const;
