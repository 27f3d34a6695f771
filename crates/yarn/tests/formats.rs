//! Encoding and decoding of generated values, of damaged input, and of byte sequences that were derived by hand from the
//! published descriptions.

use proptest::prelude::*;
use prost::Message;
use yarn::error::{Class, Fault};
use yarn::proto::*;
use yarn::rest::{self, Form};
use yarn::{master, rpc};

const CLIENT: &[u8] = b"0123456789abcdef";

/// Splits off the body of `frame`, which has to be exactly one frame.
fn frame_body(frame: &[u8]) -> &[u8] {
    let (body, used) = rpc::take_frame(frame, 1 << 20)
        .expect("frame length within the limit")
        .expect("complete frame");
    assert_eq!(used, frame.len());
    body
}

prop_compose! {
    fn application_id()(id in 0..i32::MAX, cluster_timestamp in 0..i64::MAX) -> ApplicationId {
        ApplicationId { id, cluster_timestamp }
    }
}

prop_compose! {
    fn resource()(memory in 0i64..1 << 40, cores in 0..i32::MAX, gpus in 0i64..100) -> Resource {
        let gpus = ResourceInformation { key: master::GPUS.into(), value: Some(gpus), units: None };
        Resource { memory: Some(memory), virtual_cores: Some(cores), values: vec![gpus] }
    }
}

prop_compose! {
    fn launch_context()(command in ".{0,40}", keys in prop::collection::vec("[A-Z]{1,6}", 0..4), size in any::<i64>(), token in prop::collection::vec(any::<u8>(), 0..20)) -> ContainerLaunchContext {
        let resource = Url { file: Some("/t.zip".into()), ..Url::default() };
        let local_resource = LocalResource { resource: Some(resource), size: Some(size), kind: Some(1), ..LocalResource::default() };
        ContainerLaunchContext {
            local_resources: vec![StringLocalResource { key: "t".into(), value: Some(local_resource) }],
            environment: keys.into_iter().map(|key| StringString { key, value: Some("1".into()) }).collect(),
            command: vec![command],
            tokens: Some(token),
            ..ContainerLaunchContext::default()
        }
    }
}

prop_compose! {
    fn submission()(id in application_id(), resource in resource(), launch in launch_context(), name in ".{0,20}", tags in prop::collection::vec("[a-z]{0,9}", 0..4), priority in any::<i32>()) -> ApplicationSubmissionContext {
        ApplicationSubmissionContext {
            application_id: Some(id),
            application_name: Some(name),
            queue: Some("root.a.b".into()),
            priority: Some(Priority { priority }),
            resource: Some(resource),
            am_container_spec: Some(launch),
            application_tags: tags,
            ..ApplicationSubmissionContext::default()
        }
    }
}

prop_compose! {
    fn allocate_request()(app in application_id(), attempt_id in 0..100, container_numbers in prop::collection::vec(any::<i64>(), 0..5), capability in resource(), count in any::<i32>(), response_id in any::<i32>()) -> master::AllocateRequest {
        let attempt = ApplicationAttemptId { application_id: Some(app), attempt_id };
        let container = |id| ContainerId { app_id: None, app_attempt_id: Some(attempt), id };
        let request = ResourceRequest {
            priority: Some(Priority { priority: 1 }),
            resource_name: Some(master::ANY.into()),
            capability: Some(capability),
            num_containers: Some(count),
            ..ResourceRequest::default()
        };
        master::AllocateRequest {
            ask: vec![request],
            release: container_numbers.into_iter().map(container).collect(),
            response_id: Some(response_id),
            ..master::AllocateRequest::default()
        }
    }
}

/// Truncated input, input with a flipped bit and input that states too large a length may be decoded as another value or
/// rejected, but must neither panic nor use memory out of proportion to its size.
fn check_damaged_decode<T: Message + Default>(bytes: &[u8], cut: usize, flip: usize) {
    let _ = T::decode(&bytes[..cut.min(bytes.len())]);
    let mut corrupted = bytes.to_vec();
    if let Some(byte) = corrupted.get_mut(flip % bytes.len().max(1)) {
        *byte ^= 1 << (flip % 8);
    }
    let _ = T::decode(corrupted.as_slice());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn calls_round_trip_and_damaged_calls_do_not_panic(context in submission(), ask in allocate_request(), call in 0..i32::MAX, retry in -1..9, cut in 0usize..400, flip in any::<usize>()) {
        let submit = SubmitApplicationRequest { context: Some(context) };
        let frame = rpc::request(call, CLIENT, retry, rpc::CLIENT_PROTOCOL, "submitApplication", &submit);
        let request = rpc::parse_request(frame_body(&frame)).expect("valid call");
        prop_assert_eq!(request.header.call_id, call);
        prop_assert_eq!(request.header.retry_count, Some(retry));
        prop_assert_eq!(SubmitApplicationRequest::decode(request.argument.as_slice()).expect("valid submission request"), submit.clone());
        let encoded = ask.encode_to_vec();
        prop_assert_eq!(master::AllocateRequest::decode(encoded.as_slice()).expect("valid allocate request"), ask);

        check_damaged_decode::<SubmitApplicationRequest>(&submit.encode_to_vec(), cut, flip);
        check_damaged_decode::<master::AllocateRequest>(&encoded, cut, flip);
        if cut < frame.len() {
            prop_assert_eq!(rpc::take_frame(&frame[..cut], 1 << 20), Ok(None));
        }
        let mut corrupted = frame.clone();
        let index = 4 + flip % (frame.len() - 4);
        corrupted[index] ^= 1 << (flip % 8);
        let _ = rpc::parse_request(&corrupted[4..]);
        prop_assert!(rpc::take_frame(&frame, frame.len() - 5).is_err(), "frame one byte above the limit was accepted");
    }

    #[test]
    fn responses_and_errors_round_trip(report in ".{0,60}", call in 0..i32::MAX) {
        let header = rpc::parse_request(frame_body(&rpc::request(call, CLIENT, 2, "p", "m", &GetNewApplicationRequest {}))).expect("valid call").header;
        let answer = rpc::answer(&header, report.as_bytes());
        let (response, body) = rpc::parse_answer(frame_body(&answer)).expect("valid response");
        prop_assert_eq!((response.call_id, response.retry_count), (call as u32, Some(2)));
        prop_assert_eq!(body.expect("successful response"), report.as_bytes());
        let fault = Fault::new(Class::ApplicationNotFound, report);
        let (_, refused) = rpc::parse_answer(frame_body(&rpc::refusal(&header, &fault))).expect("valid response");
        prop_assert_eq!(refused.expect_err("error response"), fault);
    }

    #[test]
    fn ids_round_trip_through_text(app in application_id(), attempt in 0..i32::MAX) {
        prop_assert_eq!(ApplicationId::parse(&app.to_string()), Some(app));
        let attempt = ApplicationAttemptId { application_id: Some(app), attempt_id: attempt };
        prop_assert_eq!(ApplicationAttemptId::parse(&attempt.to_string()), Some(attempt));
    }

    #[test]
    fn submissions_round_trip_in_json_and_xml(id in application_id(), tags in prop::collection::vec("[a-z]{1,9}", 0..4), key in "[A-Z]{1,5}", memory in 0i64..1 << 40) {
        let submission = rest::Submission {
            application_id: id.to_string(),
            application_tags: rest::Tags { tag: tags },
            am_container_spec: rest::Launch {
                environment: rest::Entries { entry: vec![rest::Entry { key, value: "a < b & c".into() }] },
                commands: rest::Commands { command: "tally --all 2>&1".into() },
                ..rest::Launch::default()
            },
            resource: rest::Capability { memory, vcores: 2, named: None },
            ..rest::Submission::default()
        };
        let json = rest::render(Form::Json, "", true, &submission);
        prop_assert_eq!(&rest::read::<rest::Submission>(Form::Json, &json).expect("valid JSON body"), &submission);
        let xml = rest::render(Form::Xml, "application-submission-context", true, &submission);
        prop_assert_eq!(&rest::read::<rest::Submission>(Form::Xml, &xml).expect("valid XML body"), &submission);
    }
}

/// Compares the preamble, a ping, a connection context, a call and ids with their exact encodings.
#[test]
fn frames_and_ids_match_expected_bytes() {
    assert_eq!(rpc::open(rpc::AUTH_SIMPLE), b"hrpc\x09\x00\x00");
    // Header: kind 2, op 0, call -4 as zigzag 7, client id "x", retry -1 as zigzag 1.
    assert_eq!(
        rpc::ping(b"x"),
        b"\0\0\0\x0c\x0b\x08\x02\x10\x00\x18\x07\x22\x01x\x28\x01"
    );
    let context = rpc::context(b"x", "ann", "p");
    assert_eq!(
        context,
        b"\0\0\0\x17\x0b\x08\x02\x10\x00\x18\x05\x22\x01x\x28\x01\x0a\x12\x05\x0a\x03ann\x1a\x01p"
    );
    let call = rpc::request(1, b"x", 0, "p", "m", &GetNewApplicationRequest {});
    assert_eq!(
        call,
        b"\0\0\0\x16\x0b\x08\x02\x10\x00\x18\x02\x22\x01x\x28\x00\x08\x0a\x01m\x12\x01p\x18\x01\x00"
    );
    let id = ApplicationId {
        id: 7,
        cluster_timestamp: 300,
    };
    assert_eq!(id.encode_to_vec(), b"\x08\x07\x10\xac\x02");
    assert_eq!(id.to_string(), "application_300_0007");
    let attempt = ApplicationAttemptId {
        application_id: Some(id),
        attempt_id: 1,
    };
    assert_eq!(attempt.to_string(), "appattempt_300_0007_000001");
    assert_eq!(
        ContainerId::new(attempt, 0, 12).to_string(),
        "container_300_0007_01_000012"
    );
    assert_eq!(
        ContainerId::new(attempt, 17, 12).to_string(),
        "container_e17_300_0007_01_000012"
    );
    assert_eq!(ContainerId::new(attempt, 17, 12).id, 17 << 40 | 12);
}

#[test]
fn invalid_preambles_and_frame_lengths_are_rejected_early() {
    use rpc::Fatal;
    assert_eq!(rpc::opening(b"hrpc\x09\x00"), Ok(None));
    assert_eq!(rpc::opening(b"hrpc\x09\x00\xdf"), Ok(Some(rpc::AUTH_SASL)));
    assert_eq!(rpc::opening(b"hr"), Ok(None));
    assert_eq!(rpc::opening(b"GET "), Err(Fatal::NotRpc));
    assert_eq!(rpc::opening(b"hrpc\x08"), Err(Fatal::Version(8)));
    assert_eq!(rpc::opening(b"hrpc\x09\x00\x51"), Err(Fatal::Auth(0x51)));
    for length in [0, -1, i32::MIN, 1 << 21] {
        let prefix = i32::to_be_bytes(length);
        assert_eq!(
            rpc::take_frame(&prefix, 1 << 20),
            Err(Fatal::Length(length))
        );
    }
}

/// Published clients send a list of one as a bare value and expect repeated elements for lists in XML; `Accept` headers
/// select the format.
#[test]
fn single_json_values_are_read_as_lists() {
    let json = br#"{"application-id":"application_1_0001","application-name":"tally",
        "am-container-spec":{"commands":{"command":"run"},
          "environment":{"entry":{"key":"COUNTY","value":"garissa"}},
          "local-resources":{"entry":[{"key":"tally.zip","value":{"resource":"http://a/t.zip","type":"ARCHIVE",
            "visibility":"APPLICATION","size":43004,"timestamp":1405452071209}}]}},
        "max-app-attempts":2,"resource":{"memory":1024,"vCores":1},"application-type":"TALLY",
        "application-tags":{"tag":"census"},"unmanaged-AM":false,"some-later-field":1}"#;
    let submission: rest::Submission = rest::read(Form::Json, json).expect("valid JSON body");
    assert_eq!(submission.application_tags.tag, ["census"]);
    assert_eq!(
        submission.am_container_spec.environment.entry[0].value,
        "garissa"
    );
    assert_eq!(
        submission.am_container_spec.local_resources.entry[0]
            .value
            .kind,
        "ARCHIVE"
    );
    let apps = rest::Apps {
        app: vec![rest::App::default(); 2],
    };
    let xml = String::from_utf8(rest::render(Form::Xml, "apps", false, &apps)).expect("UTF-8");
    assert_eq!(xml.matches("<app>").count(), 2, "{xml}");
    assert_eq!(
        Form::wanted("text/html, application/xml;q=0.9"),
        Some(Form::Xml)
    );
    assert_eq!(Form::wanted("image/png"), None);
    assert_eq!(Form::wanted(""), Some(Form::Json));
}
