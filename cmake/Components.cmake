if(MARIGOLDSPOOL_TESTS)
    include(${doctest_DIR}/doctest.cmake)
endif()

# Static library lib/<name>, with the test program tests/<name> registered case by case in CTest.
# Components whose directory does not exist yet are skipped.
function(marigoldspool_component name)
    cmake_parse_arguments(ARG "" "" "COMPONENTS;LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/lib/${name}/*.cpp)
    if(NOT sources)
        return()
    endif()
    set(target marigoldspool${name})
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include
        PRIVATE ${PROJECT_SOURCE_DIR}/lib)
    target_link_libraries(${target} PUBLIC marigoldspoolOptions nlohmann_json::nlohmann_json
        Threads::Threads ${ARG_LIBRARIES})
    foreach(component IN LISTS ARG_COMPONENTS)
        if(TARGET marigoldspool${component})
            target_link_libraries(${target} PUBLIC marigoldspool${component})
        endif()
    endforeach()
    set_property(GLOBAL APPEND PROPERTY MARIGOLDSPOOL_LIBRARIES ${target})

    marigoldspool_tests(${name} ${target})
endfunction()

# The test program tests/<name> of one library.
function(marigoldspool_tests name target)
    file(GLOB tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${name}/*.cpp)
    if(NOT tests OR NOT MARIGOLDSPOOL_TESTS)
        return()
    endif()
    set(program ${name}Tests)
    add_executable(${program} ${tests} ${PROJECT_SOURCE_DIR}/tests/support/TestMain.cpp)
    target_include_directories(${program} PRIVATE ${PROJECT_SOURCE_DIR}/tests
        ${PROJECT_SOURCE_DIR}/lib)
    target_compile_definitions(${program} PRIVATE
        MARIGOLDSPOOL_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_link_libraries(${program} PRIVATE ${target} doctest::doctest rapidcheck)
    doctest_discover_tests(${program} TEST_PREFIX "${name}: " PROPERTIES
        TIMEOUT 300
        ENVIRONMENT "RC_PARAMS=seed=20260101 max_success=100")
endfunction()

# What speaks to the users' platform: the library platform/, its tests and its program.
function(marigoldspool_platform)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    add_library(marigoldspoolPlatformAdapter STATIC ${sources})
    target_include_directories(marigoldspoolPlatformAdapter PUBLIC ${PROJECT_SOURCE_DIR}/platform)
    target_link_libraries(marigoldspoolPlatformAdapter PUBLIC marigoldspoolFleet)
    marigoldspool_tests(PlatformAdapter marigoldspoolPlatformAdapter)
    add_executable(marigoldspool-node ${PROJECT_SOURCE_DIR}/platform/main.cpp)
    target_link_libraries(marigoldspool-node PRIVATE marigoldspoolPlatformAdapter
        Boost::coroutine Boost::context)
endfunction()

# One program for each <directory>/<program>/ directory with sources; all components are linked.
function(marigoldspool_programs directory)
    get_property(libraries GLOBAL PROPERTY MARIGOLDSPOOL_LIBRARIES)
    list(REVERSE libraries)
    file(GLOB entries CONFIGURE_DEPENDS LIST_DIRECTORIES true ${PROJECT_SOURCE_DIR}/${directory}/*)
    foreach(entry IN LISTS entries)
        file(GLOB sources CONFIGURE_DEPENDS ${entry}/*.cpp)
        if(NOT sources)
            continue()
        endif()
        get_filename_component(program ${entry} NAME)
        add_executable(${program} ${sources})
        target_include_directories(${program} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
        target_link_libraries(${program} PRIVATE ${libraries} Boost::coroutine Boost::context)
    endforeach()
endfunction()

# Tests over real processes: one program that starts the built programs, with all their output in
# files of its own. Few cases run at once, since they bound waits.
function(marigoldspool_system_tests)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/System/*.cpp)
    add_executable(SystemTests ${sources} ${PROJECT_SOURCE_DIR}/tests/support/TestMain.cpp)
    target_include_directories(SystemTests PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_compile_definitions(SystemTests PRIVATE
        MARIGOLDSPOOL_PROGRAM_DIR="${PROJECT_BINARY_DIR}")
    target_link_libraries(SystemTests PRIVATE marigoldspoolGateway doctest::doctest Boost::headers
        Boost::coroutine Boost::context)
    add_dependencies(SystemTests platform-standin engine-standin service-standin marigoldspoold
        marigoldspoolctl marigoldspool-node)
    doctest_discover_tests(SystemTests TEST_PREFIX "System: " PROPERTIES TIMEOUT 120 PROCESSORS 2)
endfunction()
